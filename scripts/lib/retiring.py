"""What operators and the platform do with VMs of coordinators that are to be emptied and taken away."""
import json
import threading
import time


class Operator:
    """Requests retirements. As the platform does, removes a VM at once when it is reported as completed."""

    def __init__(self, deployment, on_removal=lambda machine: None):
        self.deployment = deployment
        self.on_removal = on_removal
        self.store = deployment.platform.store
        # Revision of the request, by machine name.
        self.requests = {}
        self.gone = set()
        self.is_over = threading.Event()
        self.thread = threading.Thread(target=self._remove, daemon=True)
        self.thread.start()

    def retire(self, machine, duration_s=8.8):
        self.requests[machine.name] = self.store.revision
        document = json.dumps({"DurationS": duration_s})
        self.deployment.platform.run(self.store.write("op/retire/" + machine.name, document))

    def withdraw(self, machine):
        self.requests.pop(machine.name, None)
        self.deployment.platform.run(self.store.erase("op/retire/" + machine.name))

    def forget(self, machine):
        """The request stays listed, and the machine of that name is a new one."""
        del self.requests[machine.name]
        self.gone.discard(machine.name)

    def report_revision(self, machine):
        """Revision of the report that the VM is empty; 0 if there is none."""
        key = "status/retire/" + machine.name
        item = self.store.items.get(key)
        if not item or json.loads(self.store.value(key))["State"] != "completed":
            return 0
        return item["Revision"]

    def is_reported(self, machine):
        return self.report_revision(machine) > self.requests.get(machine.name, 0)

    def is_gone(self, machine):
        return machine.name in self.gone

    def stop(self):
        """Removes no more VMs."""
        self.is_over.set()
        self.thread.join()

    def _remove(self):
        while not self.is_over.is_set():
            for machine in list(self.deployment.coordinators):
                if machine.name in self.requests and not self.is_gone(machine) and self.is_reported(machine):
                    machine.kill()
                    self.gone.add(machine.name)
                    self.on_removal(machine)
            time.sleep(0.005)
