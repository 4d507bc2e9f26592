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
    private static final int MAX_BODY_BYTES = 64 * 1024, FRAME_BYTES = 32;

    private final List<HostPool.Attempt> attempts = new ArrayList<>();
    private int bodyBytes = 2;

    /**
     * The one whose time is up last comes first: a destination takes a call's time from its first message,
     * and an answer after that would count for none of them.
     */
    List<HostPool.Attempt> attempts() {
        attempts.sort(Comparator.comparingLong((HostPool.Attempt attempt) -> attempt.message().deadline()).reversed());
        return attempts;
    }

    void add(HostPool.Attempt attempt) {
        attempts.add(attempt);
        bodyBytes += maxEncodedBytes(attempt.message());
    }

    /** True if it has room for the message; {@code most}: messages that the host's kind takes in a call. */
    boolean hasRoomFor(Message message, int maxMessages) {
        return attempts.isEmpty() || attempts.size() < maxMessages && bodyBytes + maxEncodedBytes(message) <= MAX_BODY_BYTES;
    }

    private static int maxEncodedBytes(Message message) {
        // A character of an id or key takes six bytes at most, as an escape.
        int keyLength = message.idempotencyKey() == null ? 0 : message.idempotencyKey().length();
        return FRAME_BYTES + 6 * (message.id().length() + keyLength) + (message.body().length + 2) / 3 * 4;
    }

    /** The body of a call with several messages. */
    static byte[] encode(List<Message> messages) {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        try (JsonGenerator out = JSON.createGenerator(body)) {
            out.writeStartArray();
            for (Message message : messages) {
                out.writeStartObject();
                out.writeStringField("id", message.id());
                if (message.idempotencyKey() != null) {
                    out.writeStringField("key", message.idempotencyKey());
                }
                out.writeBinaryField("body", message.body());
                out.writeEndObject();
            }
            out.writeEndArray();
        } catch (IOException e) {
            throw new IllegalStateException("an array of bytes cannot fail to be written", e);
        }
        return body.toByteArray();
    }
}
