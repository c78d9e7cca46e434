/** Threads that do not keep the program alive. */
final class Daemon {
    private Daemon() {
    }

    static Thread thread(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    }
}
