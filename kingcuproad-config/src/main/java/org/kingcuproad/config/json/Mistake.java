package org.kingcuproad.config.json;

/**
 * One mistake in a file.
 *
 * @param path JSON path of the value, such as {@code $.upstreams[3].group}
 * @param expected what the value should be
 * @param found what the file has
 */
public record Mistake(String path, String expected, String found) {

    /**
     * Returns the mistake as one line.
     *
     * @return the path, what was expected and what was found
     */
    @Override
    public String toString() {
        return path + ": expected " + expected + ", found " + found;
    }
}
