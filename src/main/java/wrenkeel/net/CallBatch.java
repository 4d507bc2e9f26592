package wrenkeel.net;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Parts of one turn to one host, gathered to go out as one call. */
final class CallBatch {
    private static final JsonFactory JSON = new JsonFactory();
    /** Bytes that a call's body may hold, and those of one message besides its id, key and Base64 text. */
    private static final int BODY_MOST = 64 * 1024, FRAME = 32;

    private final List<HostPool.Attempt> parts = new ArrayList<>();
    private int bytes = 2;

    /**
     * The one whose time is up last comes first: a destination takes a call's time from its first message,
     * and an answer after that would count for none of them.
     */
    List<HostPool.Attempt> attempts() {
        parts.sort(Comparator.comparingLong((HostPool.Attempt part) -> part.message().deadline()).reversed());
        return parts;
    }

    void add(HostPool.Attempt part) {
        parts.add(part);
        bytes += bytes(part.message());
    }

    /** True if it has room for the message; {@code most}: messages that the host's kind takes in a call. */
    boolean hasRoomFor(Message message, int most) {
        return parts.isEmpty() || parts.size() < most && bytes + bytes(message) <= BODY_MOST;
    }

    private static int bytes(Message m) {
        // A character of an id or key takes six bytes at most, as an escape.
        int key = m.idempotencyKey() == null ? 0 : m.idempotencyKey().length();
        return FRAME + 6 * (m.id().length() + key) + (m.body().length + 2) / 3 * 4;
    }

    /** The body of a call with several messages. */
    static byte[] encode(List<Message> messages) {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        try (JsonGenerator out = JSON.createGenerator(body)) {
            out.writeStartArray();
            for (Message m : messages) {
                out.writeStartObject();
                out.writeStringField("id", m.id());
                if (m.idempotencyKey() != null) {
                    out.writeStringField("key", m.idempotencyKey());
                }
                out.writeBinaryField("body", m.body());
                out.writeEndObject();
            }
            out.writeEndArray();
        } catch (IOException e) {
            throw new IllegalStateException("an array of bytes cannot fail to be written", e);
        }
        return body.toByteArray();
    }
}
