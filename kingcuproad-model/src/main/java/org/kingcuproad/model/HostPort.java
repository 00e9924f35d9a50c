package org.kingcuproad.model;

/**
 * The address of a process.
 *
 * @param host IP number; an IPv6 number is in brackets
 * @param port TCP port
 */
public record HostPort(String host, int port) {

    /**
     * Parses an address.
     *
     * @param text the IP number, a colon and the port
     * @return the address
     * @throws KingcuproadException if the text is not of this form
     */
    public static HostPort parse(String text) throws KingcuproadException {
        int colon = text.lastIndexOf(':');
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (colon > 0 && port >= 0 && port <= 65_535) {
                return new HostPort(text.substring(0, colon), port);
            }
        } catch (NumberFormatException notANumber) {
            throw new KingcuproadException(ErrorKind.BAD_REQUEST, malformed(text), notANumber);
        }
        throw new KingcuproadException(ErrorKind.BAD_REQUEST, malformed(text));
    }

    /**
     * Returns the address in the form that {@link #parse} reads.
     *
     * @return the IP number, a colon and the port
     */
    @Override
    public String toString() {
        return host + ":" + port;
    }

    private static String malformed(String text) {
        return "expected IP:PORT, found \"" + text + "\"";
    }
}
