package wrenkeel.net;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * The messages that are over and that an endpoint has run, or may have run. A client that submits such an id
 * again must not cause another run. Each is kept for a while after its end, and at least until its deadline;
 * beyond the limit on their number, the oldest are forgotten. Not thread-safe.
 */
final class CompletedMessages {
    /** Least time for which a message is kept after its end. */
    static final long MIN_RETENTION_MS = TimeUnit.SECONDS.toMillis(30);
    /** Most messages kept; an id has up to 128 characters. */
    static final int MAX_MESSAGES = 16_384;

    /**
     * A message that is over.
     *
     * @param delivered whether an endpoint has confirmed it; otherwise one may have run it
     * @param untilMillis until when it is kept, Unix time in ms
     */
    record Completion(String id, boolean delivered, long untilMillis) { }

    /** By id, the one that was added longest ago first. */
    private final Map<String, Completion> completions = new LinkedHashMap<>();

    /** Returns until when a message that ends now is kept, Unix time in ms. */
    static long retainedUntil(long nowMillis, long deadlineMillis) {
        return Math.max(deadlineMillis, nowMillis + MIN_RETENTION_MS);
    }

    /** Adds a message; one that is known as delivered stays so. */
    void add(Completion completion, long nowMillis) {
        Completion known = completions.remove(completion.id);
        boolean delivered = completion.delivered || known != null && known.delivered;
        completions.put(completion.id, new Completion(completion.id, delivered, completion.untilMillis));
        removeExpired(nowMillis);
    }

    /** Forgets the oldest messages, as far as their time or their number is exceeded. */
    private void removeExpired(long nowMillis) {
        Iterator<Completion> oldest = completions.values().iterator();
        boolean removing = true;
        while (removing && oldest.hasNext()) {
            removing = oldest.next().untilMillis <= nowMillis || completions.size() > MAX_MESSAGES;
            if (removing) {
                oldest.remove();
            }
        }
    }

    /** Returns what is known of a message that is over; null if nothing is. */
    Completion find(String id, long nowMillis) {
        Completion completion = completions.get(id);
        return completion == null || completion.untilMillis <= nowMillis ? null : completion;
    }

    /** Returns all messages that are kept, the one that ended first at the beginning. */
    List<Completion> oldestFirst() {
        return List.copyOf(completions.values());
    }
}
