/** Line plots as SVG. */
@NullMarked
package org.kingcuproad.experiment.plot;

import org.jspecify.annotations.NullMarked;
