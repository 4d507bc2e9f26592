package wrenkeel.net;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import wrenkeel.Relay.Outcome;
import wrenkeel.Wire;

/** The protocol's table of what a host's answer means. */
final class ResponseOutcomes {
    /** No state of the protocol: the message may have run. */
    private static final String CONTRADICTORY_STATE = "contradicted";

    private ResponseOutcomes() { }

    static HostPool.Reply reply(HttpResponse response, long latencyMicros) {
        long retryAfterMicros = 0;
        boolean messageOver = false;
        Outcome outcome;
        switch (response.status().code()) {
            case 200 -> {
                outcome = Outcome.OK;
                messageOver = true;
            }
            case 429, 503 -> {
                outcome = response.headers().contains("X-No-Slot") ? Outcome.NOT_SENT : Outcome.FULL;
                retryAfterMicros = outcome == Outcome.FULL ? secondsToMicros(response.headers().get(HttpHeaderNames.RETRY_AFTER))
                    : 0;
            }
            case 504 -> outcome = Outcome.NOT_SENT;
            case 410 -> {
                outcome = Outcome.NOT_SENT;
                messageOver = true;
            }
            default -> outcome = Outcome.ERROR;
        }
        return reply(response, outcome, messageOver, retryAfterMicros, latencyMicros);
    }

    /**
     * What a bundle's answer with 200 means for one of its messages, by the state that its body names; one
     * that it does not name, or calls by another word, may have run. A told wait binds whatever the state.
     */
    static HostPool.Reply reply(HttpResponse response, String state, long latencyMicros) {
        Outcome outcome = switch (state == null ? "" : state) {
            case "accepted" -> Outcome.OK;
            case "deferred" -> Outcome.FULL;
            case "expired", "no_more" -> Outcome.NOT_SENT;
            default -> Outcome.ERROR;
        };
        return reply(response, outcome, outcome == Outcome.OK || "expired".equals(state),
            secondsToMicros(response.headers().get(HttpHeaderNames.RETRY_AFTER)), latencyMicros);
    }

    /**
     * The states by message that the body of a bundle's answer names; none if it cannot be read. A message
     * that it names with two states has none that could be believed.
     */
    static Map<String, String> messageStates(byte[] body) {
        Map<String, String> states = new HashMap<>();
        try {
            // Strictly: bytes that are no UTF-8 must not be replaced and passed over.
            String text = StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(body)).toString();
            for (Wire.Fields entry : Wire.decodeArray(text)) {
                states.merge(entry.text("id"), entry.text("state"),
                    (first, second) -> first.equals(second) ? first : CONTRADICTORY_STATE);
            }
        } catch (Wire.Malformed | CharacterCodingException e) {
            return Map.of();
        }
        return states;
    }

    private static HostPool.Reply reply(HttpResponse response, Outcome outcome, boolean messageOver, long retryAfterMicros,
                                        long latencyMicros) {
        String load = response.headers().get("X-Server-Load");
        return new HostPool.Reply(outcome, messageOver, retryAfterMicros, latencyMicros, loadField(load, "x0"), loadField(load, "x1"));
    }

    /** Decimal seconds in microseconds, rounded up lest a wait be cut short; 0 if untold or not a number. */
    private static long secondsToMicros(String seconds) {
        double value = parseNumber(seconds);
        return value > 0 && value < 1e9 ? (long) Math.ceil(value * 1e6) : 0;
    }

    private static double loadField(String load, String name) {
        for (String pair : load == null ? new String[0] : load.split(",")) {
            if (pair.strip().startsWith(name + "=")) {
                return parseNumber(pair.substring(pair.indexOf('=') + 1));
            }
        }
        return -1;
    }

    private static double parseNumber(String text) {
        try {
            double value = text == null ? -1 : Double.parseDouble(text.strip());
            return Double.isFinite(value) ? value : -1;
        } catch (NumberFormatException e) {
            return -1;
        }
    }
}
