package io.pollenpath.protocol;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Client of the platform's Object API. Every future fails with an {@link ObjectApiException}. */
public interface ObjectApi {

    /**
     * The objects of one kind at one revision.
     *
     * @param objects the objects
     * @param revision the revision from which a watch can continue
     */
    record Listing(List<ApiObject> objects, long revision) {}

    /** Receives the changes of a watch, ordered by resource version. */
    interface WatchListener {

        /**
         * Receives a created or changed object.
         *
         * @param object the object
         */
        void onChanged(ApiObject object);

        /**
         * Receives a deleted object.
         *
         * @param object its last state, with the resource version of the deletion
         */
        void onDeleted(ApiObject object);

        /**
         * Receives a bookmark: all changes up to the revision have been delivered.
         *
         * @param revision the revision
         */
        void onBookmark(long revision);

        /**
         * Handles the end of the watch. After {@link ObjectApiException.Kind#GONE}, list the
         * objects again before the next watch.
         *
         * @param cause the reason of the end
         */
        void onClosed(ObjectApiException cause);
    }

    /** A running watch; closing it stops the watch. */
    interface Watch extends AutoCloseable {
        @Override
        void close();
    }

    /**
     * Lists the objects of a kind.
     *
     * @param kind the kind, not null
     * @return the objects and their revision
     */
    CompletableFuture<Listing> list(String kind);

    /**
     * Gets an object.
     *
     * @param kind the kind, not null
     * @param name the name, not null
     * @return the object; fails with NOT_FOUND if there is none
     */
    CompletableFuture<ApiObject> get(String kind, String name);

    /**
     * Creates an object.
     *
     * @param object the object, not null; its version is ignored
     * @return the stored object; fails with CONFLICT if the name is taken
     */
    CompletableFuture<ApiObject> create(ApiObject object);

    /**
     * Replaces an object if its resource version is unchanged.
     *
     * @param object the new state, with the resource version last read, not null
     * @return the stored object; fails with CONFLICT if the object has changed since
     */
    CompletableFuture<ApiObject> update(ApiObject object);

    /**
     * Deletes an object if its resource version is unchanged.
     *
     * @param kind the kind, not null
     * @param name the name, not null
     * @param version the resource version last read
     * @return the last state; fails with CONFLICT if the object has changed since
     */
    CompletableFuture<ApiObject> delete(String kind, String name, long version);

    /**
     * Watches the changes of a kind after a revision.
     *
     * @param kind the kind, not null
     * @param revision the revision of a listing or bookmark
     * @param listener receives the changes, not null
     * @return the running watch
     */
    Watch watch(String kind, long revision, WatchListener listener);
}
