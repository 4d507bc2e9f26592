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

/** Translates a host's HTTP response to the outcome of an attempt, as the protocol defines it. */
final class ResponseOutcomes {
    /**
     * Stands for two different states of one message. The protocol has no such state, so the message may
     * have run.
     */
    private static final String CONTRADICTORY_STATE = "contradicted";

    /** Header of a refusal by the platform: the call was not sent because the relay's slots were taken. */
    private static final String NO_SLOT = "X-No-Slot";

    private ResponseOutcomes() { }

    /**
     * The result of a call by the head of its response, unless it is a batch with status 200. It counts only
     * once the response is complete, but for a status of 200.
     */
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
                outcome = response.headers().contains(NO_SLOT) ? Outcome.NOT_SENT : Outcome.FULL;
                retryAfterMicros = retryAfterMicros(response);
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
     * The result for one message of a batch whose response has status 200. {@code state} is the message's
     * state in the body of the response; a message without a state, or with an unknown one, may have run. A
     * Retry-After counts whatever the state.
     */
    static HostPool.Reply reply(HttpResponse response, String state, long latencyMicros) {
        Outcome outcome = switch (state == null ? "" : state) {
            case "accepted" -> Outcome.OK;
            case "deferred" -> Outcome.FULL;
            case "expired", "no_more" -> Outcome.NOT_SENT;
            default -> Outcome.ERROR;
        };
        return reply(response, outcome, outcome == Outcome.OK || "expired".equals(state),
            retryAfterMicros(response), latencyMicros);
    }

    /**
     * How long the head of a response asks not to call its host, in microseconds; 0 if it doesn't ask. Only
     * refusals and responses to batches can ask for that.
     */
    static long retryAfterMicros(HttpResponse response) {
        int status = response.status().code();
        boolean refused = (status == 429 || status == 503) && !response.headers().contains(NO_SLOT);
        return refused || status == 200
            ? secondsToMicros(response.headers().get(HttpHeaderNames.RETRY_AFTER)) : 0;
    }

    /**
     * Reads the states in the body of a batch response, by message id. The map is empty if the body is
     * malformed. A message for which the body has two different states gets none of the protocol's states.
     */
    static Map<String, String> messageStates(byte[] body) {
        Map<String, String> states = new HashMap<>();
        try {
            // A new decoder throws on malformed UTF-8, where String's constructor would replace it.
            String text = StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(body)).toString();
            for (Wire.Fields entry : Wire.decodeArray(text)) {
                states.merge(entry.text("id"), entry.text("state"),
                    (first, second) -> first.equals(second) ? first : CONTRADICTORY_STATE);
            }
        } catch (Wire.MalformedException | CharacterCodingException e) {
            return Map.of();
        }
        return states;
    }

    private static HostPool.Reply reply(HttpResponse response, Outcome outcome, boolean messageOver,
                                        long retryAfterMicros, long latencyMicros) {
        String load = response.headers().get("X-Server-Load");
        return new HostPool.Reply(outcome, messageOver, retryAfterMicros, latencyMicros,
            loadField(load, "x0"), loadField(load, "x1"));
    }

    /** Converts decimal seconds, rounding up so that no wait is shortened; 0 if absent or not a number. */
    private static long secondsToMicros(String seconds) {
        double value = parseNumber(seconds);
        return value > 0 && value < 1e9 ? (long) Math.ceil(value * 1e6) : 0;
    }

    /**
     * A value of the header X-Server-Load, which has the form {@code x0=0.4,x1=25}; -1 if it is absent. The
     * host reports in x0 the share of its rate limit that is left, and in x1 that limit per second.
     */
    private static double loadField(String load, String name) {
        for (String pair : load == null ? new String[0] : load.split(",")) {
            if (pair.strip().startsWith(name + "=")) {
                return parseNumber(pair.substring(pair.indexOf('=') + 1));
            }
        }
        return -1;
    }

    /** Parses a decimal number; -1 if it is absent or not a finite number. */
    private static double parseNumber(String text) {
        try {
            double value = text == null ? -1 : Double.parseDouble(text.strip());
            return Double.isFinite(value) ? value : -1;
        } catch (NumberFormatException e) {
            return -1;
        }
    }
}
