package wrenkeel.scale;

import picocli.CommandLine.Option;

/** What the experiments with a fleet of hollow relays can be told besides. */
final class FleetOptions {
    @Option(names = "--hosts", defaultValue = "1000", paramLabel = "N",
        description = "Hosts in the list (default: ${DEFAULT-VALUE}).")
    int hosts;

    @Option(names = "--relays-a-process", defaultValue = "300", paramLabel = "N",
        description = "Hollow relays in one process (default: ${DEFAULT-VALUE}).")
    int relaysPerProcess;

    @Option(names = "--heap-mb", defaultValue = "768", paramLabel = "N",
        description = "Most heap of each such process (default: ${DEFAULT-VALUE}).")
    int heapMb;

    @Option(names = "--wait-ms", defaultValue = "4000", paramLabel = "N",
        description = "How long a watch of an agent or a control machine waits; relays have their own"
            + " (default: ${DEFAULT-VALUE}).")
    long waitMs;

    @Option(names = "--log", defaultValue = "4096", paramLabel = "N",
        description = "Changes that control machines and agents remember (default: ${DEFAULT-VALUE}).")
    int changeLogSize;
}
