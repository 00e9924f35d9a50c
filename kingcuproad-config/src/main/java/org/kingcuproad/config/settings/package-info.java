/** Settings of the processes. */
@NullMarked
package org.kingcuproad.config.settings;

import org.jspecify.annotations.NullMarked;
