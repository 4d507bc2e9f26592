package wrenkeel.net;

import java.util.function.IntConsumer;

/** A connection to the agent on which notices are posted, one body at a time. */
interface NoticeConnection {
    /** The status that is reported if no response came. */
    int NO_RESPONSE = 0;

    /** Posts a body. {@code onStatus} is called exactly once, with the HTTP status of the response. */
    void post(String body, IntConsumer onStatus);

    /** Closes the connection. A post in progress ends with {@link #NO_RESPONSE}. */
    void close();
}
