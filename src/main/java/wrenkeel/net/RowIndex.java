package wrenkeel.net;

import java.util.function.IntUnaryOperator;

/**
 * A hash table of row numbers, with open addressing; the keys are in the rows. Whoever looks for a key walks
 * the slots from {@link #firstSlot} on until a row has it or {@link #rowAt} is negative. One thread.
 */
final class RowIndex {
    private final IntUnaryOperator hash;
    /** Row numbers and one; 0 for none. The length is a power of two. */
    private int[] slots = new int[64];
    private int size;

    /** {@code hash}: of the key in a row. */
    RowIndex(IntUnaryOperator hash) {
        this.hash = hash;
    }

    /** The slot to begin with for keys of this hash. */
    int firstSlot(int keyHash) {
        return keyHash * 0x9E3779B9 >>> Integer.numberOfLeadingZeros(slots.length) + 1;
    }

    /** The row in a slot; -1 for none, and then the key is not here. */
    int rowAt(int slot) {
        return slots[slot] - 1;
    }

    int nextSlot(int slot) {
        return slot + 1 & slots.length - 1;
    }

    int size() {
        return size;
    }

    /** Adds a row whose key is not here. */
    void add(int row) {
        if (++size > slots.length / 4 * 3) {
            int[] oldSlots = slots;
            slots = new int[2 * oldSlots.length];
            for (int entry : oldSlots) {
                if (entry > 0) {
                    insert(entry - 1);
                }
            }
        }
        insert(row);
    }

    /** Puts another row with the same key in a row's place. */
    void replace(int row, int replacement) {
        slots[slotOf(row)] = replacement + 1;
    }

    void remove(int row) {
        size--;
        int hole = slotOf(row);
        // What follows moves up, unless that would put it before the slot that its search begins with.
        for (int slot = nextSlot(hole); slots[slot] > 0; slot = nextSlot(slot)) {
            int home = firstSlot(hash.applyAsInt(rowAt(slot)));
            if ((slot - home & slots.length - 1) >= (slot - hole & slots.length - 1)) {
                slots[hole] = slots[slot];
                hole = slot;
            }
        }
        slots[hole] = 0;
    }

    private void insert(int row) {
        int slot = firstSlot(hash.applyAsInt(row));
        while (slots[slot] > 0) {
            slot = nextSlot(slot);
        }
        slots[slot] = row + 1;
    }

    private int slotOf(int row) {
        int slot = firstSlot(hash.applyAsInt(row));
        while (rowAt(slot) != row) {
            slot = nextSlot(slot);
        }
        return slot;
    }
}
