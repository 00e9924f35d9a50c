/** Environment documents in the store: their stored form, and trying and promoting them. */
@NullMarked
package org.kingcuproad.platform.environment;

import org.jspecify.annotations.NullMarked;
