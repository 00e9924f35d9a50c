/** Stand-in for the platform: object API, watches, lists of VMs, and faults on request. */
@NullMarked
package org.kingcuproad.emulator.platform;

import org.jspecify.annotations.NullMarked;
