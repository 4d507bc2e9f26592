package wrenkeel.net;

import java.io.IOException;

/** The lasting folder is in a state that no waiting mends; the message is one plain line. */
final class UnusableFolder extends IOException {
    private static final long serialVersionUID = 1L;

    UnusableFolder(String fault) {
        super(fault);
    }

    UnusableFolder(IOException cause) {
        super(cause.toString(), cause);
    }
}
