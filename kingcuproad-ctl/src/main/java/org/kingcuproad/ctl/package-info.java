/** The kingcuproadctl binary. */
@NullMarked
package org.kingcuproad.ctl;

import org.jspecify.annotations.NullMarked;
