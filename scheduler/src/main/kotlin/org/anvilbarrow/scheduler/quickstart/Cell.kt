package org.anvilbarrow.scheduler.quickstart

import org.anvilbarrow.adapters.peer.PeerAddress
import org.anvilbarrow.adapters.platform.AppendCallResult
import org.anvilbarrow.adapters.platform.HttpLogClient
import org.anvilbarrow.adapters.settings.ListenAddress
import org.anvilbarrow.adapters.settings.SchedulerSettings
import org.anvilbarrow.protocol.codec.strictJson
import org.anvilbarrow.protocol.log.CatalogPayload
import org.anvilbarrow.protocol.log.VmEntry
import org.anvilbarrow.protocol.log.VmState
import org.anvilbarrow.protocol.model.ResourceSpec
import org.anvilbarrow.protocol.model.SchedulerId
import org.anvilbarrow.protocol.model.UpstreamId
import org.anvilbarrow.scheduler.process.SchedulerProcess
import org.anvilbarrow.standins.log.LogStandIn
import org.anvilbarrow.standins.upstream.UpstreamStandIn
import org.anvilbarrow.standins.vmlist.VmListSettings
import org.anvilbarrow.standins.vmlist.VmListStandIn

/** A small cell in this process: stand-ins of the platform and schedulers, all on loopback ports. */
internal class Cell(
    upstreamCount: Int,
    schedulerCount: Int,
) : AutoCloseable {
    val upstreams: Map<UpstreamId, UpstreamStandIn> =
        (1..upstreamCount).associate { UpstreamId("upstream-$it") to UpstreamStandIn() }
    val upstreamAddresses: Map<UpstreamId, String> = upstreams.mapValues { "127.0.0.1:${it.value.start()}" }
    private val log = LogStandIn()
    private val logUrl = "http://127.0.0.1:${log.start()}"
    private val vmList = VmListStandIn(VmListSettings(vms = upstreams.keys.map { VmEntry(it.value, VmState.LIVE) }))
    private val vmListUrl = "http://127.0.0.1:${vmList.start()}"
    private val logClient = HttpLogClient(logUrl)
    private val schedulers = schedulers(schedulerCount)
    private var changes = 0

    /** Ports for callers. */
    val callerPorts: List<Int> = schedulers.map { it.start() }

    /** Appends a change of one object to the log, as `anvilctl` does. */
    fun declare(
        kind: String,
        name: String,
        spec: ResourceSpec,
    ) {
        val change = CatalogPayload.ResourceChange("quickstart-${++changes}", kind, name, spec)
        val payload = strictJson.encodeToString(CatalogPayload.serializer(), change)
        val result = logClient.append(listOf(payload))
        check(result is AppendCallResult.Appended) { "$kind $name was not appended: $result" }
    }

    /** Stops every scheduler gracefully, all at the same time; returns false if one did not complete. */
    fun stopSchedulers(): Boolean =
        schedulers
            .parallelStream()
            .map { it.stop() }
            .toList()
            .all { it }

    override fun close() {
        schedulers.forEach { it.close() }
        upstreams.values.forEach { it.close() }
        logClient.close()
        log.close()
        vmList.close()
    }

    private fun schedulers(count: Int): List<SchedulerProcess> {
        val peerPorts = freePorts(count)
        val addresses = peerPorts.mapIndexed { i, port -> PeerAddress(schedulerId(i), "127.0.0.1", port, REGION) }
        return addresses.mapIndexed { i, own ->
            SchedulerProcess(
                SchedulerSettings(
                    id = own.id,
                    region = REGION,
                    failureDomain = "$REGION-${i + 1}",
                    caller = ListenAddress("127.0.0.1", 0),
                    peer = ListenAddress("127.0.0.1", own.port),
                    peers = addresses - own,
                    logUrl = logUrl,
                    vmListUrl = vmListUrl,
                ),
            )
        }
    }

    private fun schedulerId(index: Int) = SchedulerId("$REGION-scheduler-${index + 1}")

    companion object {
        const val REGION = "pohjanmaa-a"
    }
}
