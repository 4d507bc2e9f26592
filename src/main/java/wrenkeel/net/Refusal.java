package wrenkeel.net;

import java.util.Locale;

/** Why a message of a client was not accepted. */
enum Refusal {
    /** The decision module refused it: it holds too many messages, or the message's time is too short. */
    BY_MODULE,
    /** The relay holds as many messages as the settings allow. */
    HOLD_FULL,
    /** The state folder has no space for it. */
    FOLDER_FULL,
    /** The state folder cannot be written. */
    FOLDER_FAILS,
    /** A message with the same id has ended and still has attempts in flight. */
    ID_IN_USE,
    /** The process is ending. */
    ENDING,
    /** The module's turn that should have accepted it failed. */
    TURN_FAILED;

    /** Returns its name in the metrics. */
    String metricName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
