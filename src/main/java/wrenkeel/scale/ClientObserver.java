package wrenkeel.scale;

/** Hears what becomes of each message that stand-in clients hand in; on the clients' thread. */
public interface ClientObserver {
    /** How handing a message in can end. */
    enum Result {
        /** Answered; the status tells how. */
        ANSWERED,
        /** No answer within the clients' patience. */
        TIMED_OUT,
        /** The connection ended, or never came up. */
        CONNECTION_LOST,
        /** Never written: too many connections were busy. */
        NOT_SENT
    }

    /** Hears nothing. */
    ClientObserver NONE = new ClientObserver() {
        @Override
        public void submitted(MessageId id, Traffic.ClassShare kind, int destination) {
            // Nobody asks.
        }

        @Override
        public void submissionEnded(MessageId id, Result ending, int status, boolean written) {
            // Nobody asks.
        }
    };

    /** A message is about to be handed in. */
    void submitted(MessageId id, Traffic.ClassShare kind, int destination);

    /**
     * Its handing in has ended.
     *
     * @param status HTTP status; 0 where it was not answered
     * @param written true if its last byte had been handed to the system on the connection that ended
     */
    void submissionEnded(MessageId id, Result ending, int status, boolean written);
}
