package wrenkeel.net;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.util.List;

/**
 * Encodes the body of a post of notices to the platform: for each message, its end as a JSON object on one
 * line.
 */
final class NoticeBody {
    private static final JsonFactory JSON = new JsonFactory();

    /** Upper bound of a line's length without the id. */
    private static final int LINE_BYTES_BESIDE_ID = 96;
    /** The longest form of a character of an id: an escape sequence. */
    private static final int MAX_ESCAPED_BYTES = 6;

    private NoticeBody() { }

    /** Upper bound of the length of an entry's line. */
    static int maxLineBytes(Journal.Entry entry) {
        return LINE_BYTES_BESIDE_ID + MAX_ESCAPED_BYTES * entry.message.id().length();
    }

    /** Encodes entries whose end is decided. */
    static String encode(List<Journal.Entry> entries) {
        StringWriter text = new StringWriter();
        try (JsonGenerator out = JSON.createGenerator(text)) {
            out.setRootValueSeparator(null);
            for (Journal.Entry entry : entries) {
                out.writeStartObject();
                out.writeStringField("message", entry.message.id());
                out.writeStringField("outcome", entry.end.refused() ? "handed_back" : "given_up");
                if (entry.end.refused() && entry.end.retryAfterMicros() > 0) {
                    out.writeNumberField("retry_in_ms", (entry.end.retryAfterMicros() + 999) / 1_000);
                }
                out.writeEndObject();
                out.writeRaw('\n');
            }
        } catch (IOException e) {
            throw new IllegalStateException("writing JSON to a string failed", e);
        }
        return text.toString();
    }
}
