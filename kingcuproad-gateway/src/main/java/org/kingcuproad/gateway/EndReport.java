package org.kingcuproad.gateway;

import java.util.Map;
import org.kingcuproad.policy.gateway.EndConfirmations;

/**
 * What a gateway tells the other gateways about ends of streams that nothing stated.
 *
 * @param sender name of the gateway
 * @param services what it has seen itself, by service; services of which it has seen nothing are left out
 */
record EndReport(String sender, Map<String, EndConfirmations.Report> services) {}
