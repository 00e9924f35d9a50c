package org.kingcuproad.gateway;

/** How an upstream breaks a response off. */
enum ShapedCut {
    NONE,
    /** It closes the connection in an orderly way. */
    CLOSE,
    /** It resets the connection. */
    RESET,
    /** It ends with all of its connections, and another one starts later. */
    CRASH
}
