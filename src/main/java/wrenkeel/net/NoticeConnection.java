package wrenkeel.net;

import java.util.function.IntConsumer;

/** A connection to the agent that posts notices, one body at a time. */
interface NoticeConnection {
    /** The status passed on where no answer came. */
    int NO_RESPONSE = 0;

    /** Posts a body; the status of the answer is passed on exactly once. */
    void post(String body, IntConsumer onStatus);

    /** Ends the connection; a post under way ends with {@link #NO_RESPONSE}. */
    void close();
}
