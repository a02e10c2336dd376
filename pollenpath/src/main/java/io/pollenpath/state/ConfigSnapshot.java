package io.pollenpath.state;

import io.pollenpath.util.Digests;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;

/** An immutable snapshot of the effective declarations, indexed for lookups on the request path. */
public final class ConfigSnapshot {

    /** A snapshot without any declaration. */
    public static final ConfigSnapshot EMPTY = new ConfigSnapshot(0, List.of(), List.of());

    private final long revision;
    private final Map<String, Contract> contracts;
    private final Map<String, Contract> contractsByKeyDigest;
    private final Map<String, BackendServer> servers;
    private final Map<String, List<BackendServer>> serversByTarget;

    /**
     * Creates a snapshot.
     *
     * @param revision the highest version of the objects in it, 0 for none
     * @param contracts the contracts, each customer once
     * @param servers the backend servers, each name once
     */
    public ConfigSnapshot(
            long revision, Collection<Contract> contracts, Collection<BackendServer> servers) {
        this.revision = revision;
        this.contracts = index(contracts, Contract::customer);
        this.servers = index(servers, BackendServer::name);
        contractsByKeyDigest = new TreeMap<>();
        for (Contract contract : this.contracts.values()) {
            contract.keyDigests().forEach(digest -> contractsByKeyDigest.put(digest, contract));
        }
        serversByTarget =
                this.servers.values().stream()
                        .collect(Collectors.groupingBy(BackendServer::target));
    }

    private static <T> Map<String, T> index(Collection<T> items, Function<T, String> key) {
        Map<String, T> map = new TreeMap<>();
        items.forEach(item -> map.put(key.apply(item), item));
        return map;
    }

    /**
     * Returns the highest version of the objects in this snapshot.
     *
     * @return the version, 0 for an empty snapshot
     */
    public long revision() {
        return revision;
    }

    /**
     * Finds the contract of the customer that holds a key.
     *
     * @param key the key as the caller sent it, not null
     * @return the contract, or empty if no customer holds the key
     */
    public Optional<Contract> contractByKey(String key) {
        String digest = Digests.sha256Hex(key);
        Contract contract = contractsByKeyDigest.get(digest);
        if (contract == null) {
            return Optional.empty();
        }
        boolean held = false;
        for (String known : contract.keyDigests()) {
            held |= Digests.constantTimeEquals(known, digest);
        }
        return held ? Optional.of(contract) : Optional.empty();
    }

    /**
     * Returns the contracts.
     *
     * @return the contracts in order of customer
     */
    public Collection<Contract> contracts() {
        return contracts.values();
    }

    /**
     * Finds a contract.
     *
     * @param customer the customer, not null
     * @return the contract, or empty
     */
    public Optional<Contract> contract(String customer) {
        return Optional.ofNullable(contracts.get(customer));
    }

    /**
     * Returns the backend servers.
     *
     * @return the servers in order of name
     */
    public Collection<BackendServer> servers() {
        return servers.values();
    }

    /**
     * Finds a backend server.
     *
     * @param name the name, not null
     * @return the server, or empty
     */
    public Optional<BackendServer> server(String name) {
        return Optional.ofNullable(servers.get(name));
    }

    /**
     * Returns the backend servers of one model or service.
     *
     * @param target the model or service, not null
     * @return the servers in order of name, empty if there is none
     */
    public List<BackendServer> serversOf(String target) {
        return serversByTarget.getOrDefault(target, List.of());
    }
}
