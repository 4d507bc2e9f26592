package wrenkeel.net;

import java.io.IOException;

/** The lasting folder is in a state that no waiting mends; the message is one plain line. */
final class UnusableStateFolderException extends IOException {
    private static final long serialVersionUID = 1L;

    UnusableStateFolderException(String fault) {
        super(fault);
    }

    UnusableStateFolderException(IOException cause) {
        super(cause.toString(), cause);
    }
}
