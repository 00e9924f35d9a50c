package org.kingcuproad.gateway;

import java.util.Map;
import org.kingcuproad.policy.gateway.StoreContact;

/**
 * What a gateway regularly tells the other gateways about itself.
 *
 * @param sender name of the gateway
 * @param storeContact its contact with the store
 * @param loads its loads by id of the upstream; upstreams without any are left out
 */
record LoadReport(String sender, StoreContact.Report storeContact, Map<String, PeerLoads.Load> loads) {}
