/** Load on an entry or an upstream, with a check of every response. */
@NullMarked
package org.kingcuproad.ctl.load;

import org.jspecify.annotations.NullMarked;
