/** Stand-ins for the platform, model engines and plain services. */
@NullMarked
package org.kingcuproad.emulator;

import org.jspecify.annotations.NullMarked;
