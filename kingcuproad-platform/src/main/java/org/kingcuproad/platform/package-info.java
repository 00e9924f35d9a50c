/** Client of the platform's object API and of its list of VMs. */
@NullMarked
package org.kingcuproad.platform;

import org.jspecify.annotations.NullMarked;
