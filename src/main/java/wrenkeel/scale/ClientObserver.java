package wrenkeel.scale;

/**
 * Is notified of each message that stand-in clients submit and of its result, on the clients' event loop
 * thread.
 */
public interface ClientObserver {
    /** How the submission of a message ended. */
    enum Result {
        /** The relay answered; the status says how. */
        ANSWERED,
        /** No answer came within the clients' timeout. */
        TIMED_OUT,
        /** The connection failed, or could not be established. */
        CONNECTION_LOST,
        /** Not sent: the maximum number of connections was in use. */
        NOT_SENT
    }

    /** Ignores all notifications. */
    ClientObserver NONE = new ClientObserver() {
        @Override
        public void submitted(MessageId id, Traffic.ClassShare messageClass, int destination) {
            // Ignored.
        }

        @Override
        public void submissionEnded(MessageId id, Result result, int status, boolean written) {
            // Ignored.
        }
    };

    /** A message is about to be sent to the relay. */
    void submitted(MessageId id, Traffic.ClassShare messageClass, int destination);

    /**
     * The submission of a message has ended.
     *
     * @param status HTTP status; 0 if there was no answer
     * @param written whether the whole request had been passed to the socket of its last connection
     */
    void submissionEnded(MessageId id, Result result, int status, boolean written);
}
