package wrenkeel.net;

import java.util.Locale;

/** Why a message that was handed in was not taken on. */
enum Refusal {
    /** The module turned it away: the hold is full, or its time is too short. */
    BY_MODULE,
    /** As many messages are held as the settings allow. */
    HOLD_FULL,
    /** The lasting folder has no room for it. */
    FOLDER_FULL,
    /** The lasting folder cannot be written. */
    FOLDER_FAILS,
    /** A message of that id is over and still has calls out. */
    ID_IN_USE,
    /** The process ends. */
    ENDING,
    /** The turn that should have taken it on failed. */
    TURN_FAILED;

    /** Its name among the operators' figures. */
    String metricName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
