package io.anvilvalve.demo

import io.anvilvalve.api.id.BackendServerId
import io.anvilvalve.api.id.DataCentreId
import io.anvilvalve.api.id.ModelId
import io.anvilvalve.api.id.NoteId
import io.anvilvalve.api.id.OrganisationId
import io.anvilvalve.api.id.ReleaseNumber
import io.anvilvalve.api.id.RouteId
import io.anvilvalve.api.release.BackendServer
import io.anvilvalve.api.release.Change
import io.anvilvalve.api.release.Model
import io.anvilvalve.api.release.Organisation
import io.anvilvalve.api.release.ReleaseNote
import io.anvilvalve.api.release.Role
import io.anvilvalve.api.release.Route

/** The release that the demo publishes. */
internal object DemoRelease {
    val models = listOf(Model(ModelId("map-reader")), Model(ModelId("drawer-desk")))
    val serviceId = BackendServerId("desk-service")
    val repeatableRoute = RouteId("shelf-lookup")
    val nonRepeatableRoute = RouteId("pickup")
    val openRoute = RouteId("opening-hours")

    /** Organisations with fixed keys, so that scripts can use `--serve`; the keys are valid only in the demo. */
    val tenants = listOf("plats", "deeds", "counter", "dispatch").map { name ->
        Tenant(Organisation(OrganisationId(name), rate = 20_000, burst = 200_000), "demo-key-$name")
    }

    /** Separate caller whose key the demo withdraws. */
    val withdrawnTenant = Tenant(tenants.first().organisation, "demo-key-to-withdraw")

    val routes = listOf(
        Route(repeatableRoute, listOf(serviceId)),
        Route(nonRepeatableRoute, listOf(serviceId), repeatable = false),
        Route(openRoute, listOf(serviceId), open = true),
    )

    /** Returns the first release note, with the backend servers at the addresses of [standins]. */
    fun firstNote(standins: Standins): ReleaseNote {
        val servers = standins.engines.values.map { it.toBackendServer(models.map { model -> model.id }) } +
            BackendServer(serviceId, standins.serviceServer.address, DATA_CENTRES.first(), Role.SERVICE)
        val changes = models.map { Change.PutModel(it) } +
            servers.map { Change.PutBackendServer(it) } +
            tenants.map { Change.PutOrganisation(it.organisation) } +
            (tenants + withdrawnTenant).map { Change.PutKey(it.releaseKey) } +
            routes.map { Change.PutRoute(it) }
        return ReleaseNote(NoteId("demo-1"), ReleaseNumber(0), "demo", changes)
    }

    val DATA_CENTRES = listOf(DataCentreId("dc-1"), DataCentreId("dc-2"))
}
