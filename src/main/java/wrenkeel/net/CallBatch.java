package wrenkeel.net;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Collects the attempts to one host that are decided in one turn of the event loop, to be sent as one call.
 */
final class CallBatch {
    private static final JsonFactory JSON = new JsonFactory();
    /** Limit for the length of a call's body. */
    private static final int MAX_BODY_BYTES = 64 * 1024;
    /** JSON text of one message besides its id, its key and its body in Base64; rounded up. */
    private static final int FRAME_BYTES = 32;

    private final List<HostPool.Attempt> attempts = new ArrayList<>();
    /** Upper bound of the encoded body's length, beginning with the brackets of the array. */
    private int bodyBytes = 2;

    /**
     * The attempts, the one with the latest deadline first: a destination takes the deadline of the whole
     * call from its first message, and a response after that would count for none of them.
     */
    List<HostPool.Attempt> attempts() {
        attempts.sort(
            Comparator.comparingLong((HostPool.Attempt attempt) -> attempt.message().deadline()).reversed());
        return attempts;
    }

    void add(HostPool.Attempt attempt) {
        attempts.add(attempt);
        bodyBytes += maxEncodedBytes(attempt.message());
    }

    /**
     * True if the message fits in. {@code maxMessages} is the limit of messages in a call to this kind of
     * host.
     */
    boolean hasRoomFor(Message message, int maxMessages) {
        return attempts.isEmpty()
            || attempts.size() < maxMessages && bodyBytes + maxEncodedBytes(message) <= MAX_BODY_BYTES;
    }

    /** Upper bound of the length that a message takes in the body. */
    private static int maxEncodedBytes(Message message) {
        // A character of an id or key takes at most six bytes, in an escape sequence.
        int keyLength = message.idempotencyKey() == null ? 0 : message.idempotencyKey().length();
        return FRAME_BYTES + 6 * (message.id().length() + keyLength) + (message.body().length + 2) / 3 * 4;
    }

    /** Encodes the body of a call with several messages: a JSON array. */
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
            throw new IllegalStateException("writing JSON to memory failed", e);
        }
        return body.toByteArray();
    }
}
