#!/usr/bin/env python3
"""Batch jobs that outlive what they were accepted under: their route, their host's routes, their owner."""
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "scripts", "lib"))
from hosted import HOST, JOB_PREFIX, MODELS, configuration, names, route, run_case, wait_until  # noqa: E402

OTHER_HOST = "others.example"

# Time for a configuration to be in force in all processes.
CONFIG_APPLY_S = 2.0


def configure(deployment, version, routes):
    deployment.platform.configure(version, routes)
    time.sleep(CONFIG_APPLY_S)


def routes_without(*removed):
    return [entry for entry in configuration(1)["Routes"] if entry["Name"] not in removed]


def read_body(deployment, entry, job, item):
    return deployment.request(entry, "GET", "/items/%s?Id=%s" % (job, item))[:2]


def status_of(deployment, entry, method, target, host=HOST, request_id=None):
    headers = {"Host": host, **({"Endiveroad-Request-Id": request_id} if request_id else {})}
    return deployment.request(entry, method, target, headers=headers)[0]


def finish_job(deployment, job, count):
    """A job all of whose results have been read."""
    items = names(job + "-item", count)
    assert deployment.submit(job, items) == [202]
    return items, deployment.read_all(job, count)


def start_endless_job(deployment, job, count):
    """A job whose items do not end while the case plays."""
    for engine in deployment.platform.engines:
        engine.extra_s = 2.0
    items = names(job + "-item", count)
    assert deployment.submit(job, items) == [202]
    return items


def check_job(deployment, job, items, results, open_job, open_items):
    """All operations on an accepted job still work, at every entry."""
    for entry in deployment.entries:
        status, page = deployment.read(entry, job)
        assert (status, page["Results"]) == (200, results), (entry.name, status, page)
        status, page = deployment.read(entry, open_job)
        assert status == 200 and page["Total"] == len(open_items), (entry.name, status, page)
        # Bodies are readable until an item is listed; the items of a route that is gone may be listed as given up.
        listed = {result["Id"] for result in page["Results"]}
        for item in open_items:
            status, body = read_body(deployment, entry, open_job, item)
            assert item in listed or (status, body) == (200, b"prompt of " + item.encode()), (entry.name, item, status)
        # The answer to a submission may have been lost.
        assert deployment.submit(job, items, patience_s=0.05) == [202]
    for entry in deployment.entries:
        assert status_of(deployment, entry, "GET", "/lots/unknown") == 404


def results_cannot_be_read_once_the_route_is_removed(deployment):
    """404 for accepted jobs and their items, ends and repeated submissions once the configuration drops their route."""
    items, results = finish_job(deployment, "done", 6)
    open_items = start_endless_job(deployment, "open", 6)
    configure(deployment, 2, routes_without("job"))
    check_job(deployment, "done", items, results, "open", open_items)
    wait_until(lambda: len(deployment.read(deployment.entries[0], "open")[1]["Results"]) == 6, 5)
    given_up = deployment.read(deployment.entries[1], "open")[1]["Results"]
    assert {result["State"] for result in given_up} == {"terminated"}, given_up
    assert status_of(deployment, deployment.entries[0], "POST", JOB_PREFIX + "new", request_id="new") == 404
    # The last route of the host goes too; the host is known to no configuration any more.
    configure(deployment, 3, [{**entry, "Host": OTHER_HOST} for entry in configuration(1)["Routes"]])
    check_job(deployment, "done", items, results, "open", open_items)
    # A route that comes back changes nothing that is listed.
    configure(deployment, 4, configuration(1)["Routes"])
    check_job(deployment, "done", items, results, "open", open_items)
    assert deployment.read(deployment.entries[0], "open")[1]["Results"] == given_up
    configure(deployment, 5, routes_without("job"))
    deployment.end("open")
    deployment.end("open")
    assert status_of(deployment, deployment.entries[0], "DELETE", "/lots/unknown") == 404


def processes_that_never_saw_the_route_do_not_know_its_jobs(deployment):
    """404 at entries, and items given up or forgotten by coordinators, that start after the route was removed."""
    items, results = finish_job(deployment, "done", 6)
    open_items = start_endless_job(deployment, "open", 6)
    configure(deployment, 2, routes_without("job"))
    for machine in deployment.entries + deployment.coordinators:
        machine.restart()
        time.sleep(1.5)
    wait_until(lambda: all(deployment.is_ready(entry) for entry in deployment.entries), 10)
    check_job(deployment, "done", items, results, "open", open_items)
    deployment.end("open")


def job_operations_pass_to_servers_of_a_route_for_all_paths(deployment):
    """Reads of a job are passed on to a plain service, or calls to coordinators, where a route matches all paths."""
    items, results = finish_job(deployment, "done", 6)
    open_items = start_endless_job(deployment, "open", 6)
    catch_all = route("all", "/", "idempotent", "plain")
    configure(deployment, 2, configuration(1)["Routes"] + [catch_all])
    check_job_beside_calls(deployment, items, results, open_items)
    configure(deployment, 3, routes_without("job") + [catch_all])
    check_job_beside_calls(deployment, items, results, open_items)
    status, page = deployment.read(deployment.entries[0], "open")
    assert status == 200 and len(page["Results"]) == 6, (status, page)
    ran = [request for service in deployment.platform.services for request, _, _ in service.ran]
    assert not set(open_items) & set(ran), "items of a job were sent to a plain service"


def check_job_beside_calls(deployment, items, results, open_items):
    for number, entry in enumerate(deployment.entries):
        status, page = deployment.read(entry, "done")
        assert (status, page["Results"]) == (200, results), (entry.name, status, page)
        # An operation may carry an id of its own.
        assert status_of(deployment, entry, "GET", "/lots/done", request_id="read-%d" % number) == 200
        assert deployment.submit("done", items, patience_s=0.05) == [202]
        status, body, _ = deployment.request(entry, "GET", "/items/open?Id=" + open_items[0])
        assert status in (200, 404), (status, body)
        # A call on a path of this form that names no job is the service's own.
        request_id = "call-%s-%d" % (entry.name, time.monotonic_ns())
        status, body, headers = deployment.request(entry, "GET", "/lots/price-list", headers={
            "Endiveroad-Request-Id": request_id})
        assert status == 200 and headers.get("Endiveroad-Upstream-Stamp"), (status, body, headers)


def jobs_are_shown_to_hosts_that_could_not_see_them(deployment):
    """Jobs are readable on every host once reads need no route."""
    items, results = finish_job(deployment, "done", 6)
    others = [{**entry, "Host": OTHER_HOST, "Name": "other-" + entry["Name"]} for entry in routes_without("job")]
    for version, routes in ((2, configuration(1)["Routes"] + others), (3, routes_without("job") + others)):
        configure(deployment, version, routes)
        for entry in deployment.entries:
            assert status_of(deployment, entry, "GET", "/lots/done") == 200
            for host in (OTHER_HOST, "unknown.example"):
                for method, target in (("GET", "/lots/done"), ("DELETE", "/lots/done"),
                                       ("GET", "/items/done?Id=" + items[0])):
                    assert status_of(deployment, entry, method, target, host) == 404, (host, method, target)
    assert deployment.read(deployment.entries[0], "done")[1]["Results"] == results


CASES = {case.__name__: case for case in (
    results_cannot_be_read_once_the_route_is_removed, processes_that_never_saw_the_route_do_not_know_its_jobs,
    job_operations_pass_to_servers_of_a_route_for_all_paths, jobs_are_shown_to_hosts_that_could_not_see_them)}


if __name__ == "__main__":
    run_case(__doc__, CASES)
