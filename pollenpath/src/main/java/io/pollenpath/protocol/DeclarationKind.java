package io.pollenpath.protocol;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/** Kinds of objects that operators declare. */
public enum DeclarationKind {
    /** The limits and request kinds of one customer. */
    CONTRACT("Contract"),
    /** A backend server and the address of its side process. */
    BACKEND_SERVER("BackendServer"),
    /** A group of backend servers that run in lock-step on a shared expert map. */
    RANK_GROUP("RankGroup"),
    /** A plain service, with the calls that are idempotent. */
    SERVICE("Service"),
    /** The settings of the whole deployment. */
    POLICY("Policy");

    private final String kindName;

    DeclarationKind(String kindName) {
        this.kindName = kindName;
    }

    /**
     * Returns the name of this kind in declarations.
     *
     * @return the name, such as {@code BackendServer}
     */
    public String kindName() {
        return kindName;
    }

    /**
     * Finds a kind by its name in declarations.
     *
     * @param kindName the name, not null
     * @return the kind, or empty if no kind has this name
     */
    public static Optional<DeclarationKind> find(String kindName) {
        return Arrays.stream(values()).filter(kind -> kind.kindName.equals(kindName)).findFirst();
    }

    /**
     * Returns the names of all kinds.
     *
     * @return the names, in order of declaration
     */
    public static List<String> names() {
        return Arrays.stream(values()).map(DeclarationKind::kindName).toList();
    }
}
