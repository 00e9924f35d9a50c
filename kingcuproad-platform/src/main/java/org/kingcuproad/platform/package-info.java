/** Client of the platform object API. */
@NullMarked
package org.kingcuproad.platform;

import org.jspecify.annotations.NullMarked;
