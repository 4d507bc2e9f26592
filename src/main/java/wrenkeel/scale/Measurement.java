package wrenkeel.scale;

import java.util.Map;

/**
 * The values measured in one play, which is one run of an experiment at one size with one seed. The name of
 * each value ends with its unit ({@code rss_mb}, {@code change_cpu_ms}); a value that could not be measured
 * is absent.
 */
record Measurement(String experiment, long size, int play, long seed, Map<String, Double> values) { }
