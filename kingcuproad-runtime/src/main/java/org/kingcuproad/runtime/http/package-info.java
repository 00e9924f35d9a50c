/** HTTP/1.1 and HTTP/2 server on Netty. */
@NullMarked
package org.kingcuproad.runtime.http;

import org.jspecify.annotations.NullMarked;
