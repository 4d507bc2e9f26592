package wrenkeel.scale;

import java.util.Map;

/**
 * What one play at one size gave. The name of each value ends with its unit ({@code rss_mb}, {@code
 * change_cpu_ms}); a value that could not be had is absent.
 */
record Measurement(String experiment, long size, int play, long seed, Map<String, Double> values) { }
