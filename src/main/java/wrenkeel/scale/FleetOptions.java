package wrenkeel.scale;

import picocli.CommandLine.Option;

/** Command-line options shared by the experiments with a fleet of list-only relays. */
final class FleetOptions {
    @Option(names = "--hosts", defaultValue = "1000", paramLabel = "N",
        description = "Hosts in the list (default: ${DEFAULT-VALUE}).")
    int hosts;

    @Option(names = "--relays-a-process", defaultValue = "300", paramLabel = "N",
        description = "List-only relays in one process (default: ${DEFAULT-VALUE}).")
    int relaysPerProcess;

    @Option(names = "--heap-mb", defaultValue = "768", paramLabel = "N",
        description = "Maximum heap of each such process, in MB (default: ${DEFAULT-VALUE}).")
    int heapMb;

    @Option(names = "--wait-ms", defaultValue = "4000", paramLabel = "N",
        description = "How long a watch by an agent or a control machine waits for a change, in ms;"
            + " relays have a fixed wait of their own (default: ${DEFAULT-VALUE}).")
    long waitMs;

    @Option(names = "--log", defaultValue = "4096", paramLabel = "N",
        description = "Changes that control machines and agents keep (default: ${DEFAULT-VALUE}).")
    int changeLogSize;
}
