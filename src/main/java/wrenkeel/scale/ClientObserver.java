package wrenkeel.scale;

/** Hears what becomes of each message that stand-in clients hand in; on the clients' thread. */
public interface ClientObserver {
    /** How handing a message in can end. */
    enum Ending {
        /** Answered; the status tells how. */
        ANSWERED,
        /** No answer within the clients' patience. */
        NO_ANSWER,
        /** The connection ended, or never came up. */
        BROKEN_OFF,
        /** Never written: too many connections were busy. */
        NOT_SENT
    }

    /** Hears nothing. */
    ClientObserver NONE = new ClientObserver() {
        @Override
        public void handedIn(MessageId id, Traffic.ClassShare kind, int destination) {
            // Nobody asks.
        }

        @Override
        public void ended(MessageId id, Ending ending, int status, boolean written) {
            // Nobody asks.
        }
    };

    /** A message is about to be handed in. */
    void handedIn(MessageId id, Traffic.ClassShare kind, int destination);

    /**
     * Its handing in has ended.
     *
     * @param status HTTP status; 0 where it was not answered
     * @param written true if its last byte had been handed to the system on the connection that ended
     */
    void ended(MessageId id, Ending ending, int status, boolean written);
}
