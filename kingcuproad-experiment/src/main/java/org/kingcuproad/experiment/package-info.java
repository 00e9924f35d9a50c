/** Experiments that run the policies in virtual time. */
@NullMarked
package org.kingcuproad.experiment;

import org.jspecify.annotations.NullMarked;
