package wrenkeel.net;

import java.io.IOException;

/** The state folder cannot be used, and retrying will not help. The message is a single line. */
final class UnusableStateFolderException extends IOException {
    private static final long serialVersionUID = 1L;

    UnusableStateFolderException(String message) {
        super(message);
    }

    UnusableStateFolderException(IOException cause) {
        super(cause.toString(), cause);
    }
}
