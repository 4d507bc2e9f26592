package wrenkeel.net;

import java.util.function.IntUnaryOperator;

/**
 * A hash table of row numbers with open addressing. The keys are in the rows, so the caller does the
 * comparison: to look up a key, it goes from {@link #firstSlot} through the slots by {@link #nextSlot} until
 * the row in a slot has the key or {@link #rowAt} is negative. Not thread-safe.
 */
final class RowIndex {
    private final IntUnaryOperator hash;
    /** Each slot holds a row number plus one, or 0 if it is empty. The length is a power of two. */
    private int[] slots = new int[64];
    private int size;

    /** {@code hash} returns the hash of the key in a row. */
    RowIndex(IntUnaryOperator hash) {
        this.hash = hash;
    }

    /**
     * The slot at which the search for a key with this hash begins: the upper bits of the hash's product with
     * a constant near 2^32 divided by the golden ratio (Fibonacci hashing).
     */
    int firstSlot(int keyHash) {
        return keyHash * 0x9E3779B9 >>> Integer.numberOfLeadingZeros(slots.length) + 1;
    }

    /** The row in a slot; -1 if the slot is empty, which means that the key is not in the table. */
    int rowAt(int slot) {
        return slots[slot] - 1;
    }

    /** The slot at which a search continues. */
    int nextSlot(int slot) {
        return slot + 1 & slots.length - 1;
    }

    /** The number of rows in the table. */
    int size() {
        return size;
    }

    /** Adds a row whose key is not in the table. */
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

    /** Replaces a row by another one with the same key. */
    void replace(int row, int replacement) {
        slots[slotOf(row)] = replacement + 1;
    }

    /** Removes a row, which must be in the table. */
    void remove(int row) {
        size--;
        int hole = slotOf(row);
        // Moves the following entries up into the hole, except those whose search begins after the hole.
        for (int slot = nextSlot(hole); slots[slot] > 0; slot = nextSlot(slot)) {
            int home = firstSlot(hash.applyAsInt(rowAt(slot)));
            if ((slot - home & slots.length - 1) >= (slot - hole & slots.length - 1)) {
                slots[hole] = slots[slot];
                hole = slot;
            }
        }
        slots[hole] = 0;
    }

    /** Puts a row into the first empty slot. */
    private void insert(int row) {
        int slot = firstSlot(hash.applyAsInt(row));
        while (slots[slot] > 0) {
            slot = nextSlot(slot);
        }
        slots[slot] = row + 1;
    }

    /** The slot of a row, which must be in the table. */
    private int slotOf(int row) {
        int slot = firstSlot(hash.applyAsInt(row));
        while (rowAt(slot) != row) {
            slot = nextSlot(slot);
        }
        return slot;
    }
}
