package wrenkeel.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

final class MessageIdTest {
    @Property
    void parsesTheTextThatItFormats(@ForAll @LongRange(min = 0) long sequence, @ForAll long due) {
        MessageId id = new MessageId(sequence, due);
        assertEquals(id, MessageId.parse(id.text()));
    }

    @Test
    void parsesIdsOfOtherClientsAsNull() {
        for (String text : new String[] {null, "", "-", "9b1f03aa5c7e2d41", "1-x", "-5"}) {
            assertNull(MessageId.parse(text), text);
        }
    }
}
