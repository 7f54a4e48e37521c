"""Starts and stops a site of ragwortdeck processes on loopback addresses."""

import base64
import hashlib
import hmac
import json
import pathlib
import signal
import socket
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

import yaml

ROOT = pathlib.Path(__file__).resolve().parents[2]
ROUTER_PORT = 18080
CONTROL_PORT = 17400
LINK_PORT = 17500
ENGINE_PORT = 19000
SERVICE_PORT = 19100
KEY_VALUE = "127.0.4.1:12379"
HOST_LIST = "127.0.4.2:18500"
LINK_CONTROL = "127.0.5.1:17900"
# Ends a hang; no verdict depends on it.
START_TIMEOUT_S = 60
STOP_TIMEOUT_S = 60
KEY = {"id": "k1", "secret": "loopback-test-secret-1"}


TABLE = {
    "teams": "row,share,max_concurrent\nnadia-bakers,100,40\n"
             "hooghly-bakers,50,20\n",
    "kinds": "row,class,deadline_s,repeat\ndefault,long,600,idempotent\n"
             "guide,long,900,idempotent\ncheck,short,30,idempotent\n"
             "flour-order,short,30,at-most-once\n"
             "stock,short,10,idempotent\n",
    "models": "row,replicas,version\ndrafts,3,v1\n",
}


class SiteError(Exception):
    """A failure to start, reach or stop the site, with text for a person."""


def free_or_fail(address):
    """Raises SiteError when another process listens on the address."""
    host, port = address.rsplit(":", 1)
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((host, int(port)))
        except OSError as error:
            raise SiteError(f"{address}: {error.strerror}; end the process "
                            "that uses it and try again") from error


def http(method, url, body=None, headers=None, timeout=30):
    """Returns (status, headers, text); raises SiteError without a reply."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(url, data=data, method=method,
                                     headers=headers or {})
    if data is not None:
        request.add_header("Content-Type", "application/json")
    try:
        with urllib.request.urlopen(request, timeout=timeout) as reply:
            return reply.status, reply.headers, reply.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, error.headers, error.read().decode()
    except (OSError, urllib.error.URLError) as error:
        raise SiteError(f"{method} {url}: {error}") from error


def wait_for(what, condition, timeout=START_TIMEOUT_S, check=None):
    """Polls until the condition returns a true value, and returns it."""
    end = time.monotonic() + timeout
    while time.monotonic() < end:
        if check:
            check()
        try:
            value = condition()
        except SiteError:
            value = None
        if value:
            return value
        time.sleep(0.05)
    raise SiteError(f"timed out: {what}")


class Process:
    """One process of the site, with its settings file and log."""

    def __init__(self, site, name, binary, settings):
        self.site, self.name, self.binary = site, name, binary
        self.config = site.folder / f"{name}.yaml"
        self.log = site.folder / f"{name}.log"
        self.config.write_text(yaml.safe_dump(settings, sort_keys=False))
        self.child = None

    def start(self):
        with open(self.log, "ab") as log:
            self.child = subprocess.Popen(
                [self.site.binary(self.binary), "--config", str(self.config)],
                stdout=log, stderr=log, stdin=subprocess.DEVNULL)

    def running(self):
        return self.child is not None and self.child.poll() is None

    def check(self):
        if self.child is not None and self.child.poll() is not None:
            tail = self.log.read_text().strip().splitlines()[-3:]
            raise SiteError(f"{self.name} ended with code "
                            f"{self.child.returncode}: " + " / ".join(tail))

    def send(self, number):
        if self.running():
            self.child.send_signal(number)

    def stop(self, number=signal.SIGTERM, timeout=STOP_TIMEOUT_S):
        """Ends the process and returns its exit code."""
        if not self.running():
            return self.child.returncode if self.child else None
        self.child.send_signal(number)
        try:
            return self.child.wait(timeout)
        except subprocess.TimeoutExpired:
            self.child.kill()
            self.child.wait()
            raise SiteError(f"{self.name} did not stop within {timeout} s")


class Site:
    """A small site: platform stand-ins, targets and entry hosts."""

    def __init__(self, entry_hosts=3, engines=3, services=1,
                 failure_domains=("nadia", "hooghly", "bardhaman"),
                 engine=None, router=None, control=None, ctl=None,
                 links=(), spares=0, build="build"):
        self.build = pathlib.Path(build)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="ragwort-site-"))
        self.domains = list(failure_domains)
        self.entry_hosts = [f"entry-{n + 1}" for n in range(entry_hosts)]
        self.engines = [f"engine-{n + 1}" for n in range(engines)]
        self.services = [f"service-{n + 1}" for n in range(services)]
        self.engine_settings = engine or {}
        self.router_settings = router or {}
        self.control_settings = control or {}
        self.ctl_settings = ctl or {}
        # Engines without a model; they are listed last.
        self.spares = self.engines[len(self.engines) - spares:]
        # Targets that routers reach through a link with faults.
        self.links = list(links)
        self.processes = {}

    def add_targets(self):
        for name in self.engines:
            self.add(name, "ragwort-standin-engine",
                     {"listen": self.target_address(name),
                      "models": self.models_of(name),
                      **self.engine_settings})
        for name in self.services:
            self.add(name, "ragwort-standin-service",
                     {"listen": self.target_address(name)})

    def add_platform(self):
        self.add("key-value", "ragwort-standin-kv", {"listen": KEY_VALUE})
        hosts = self.folder / "hosts.json"
        hosts.write_text(json.dumps(self.host_list()))
        self.add("host-list", "ragwort-standin-hostlist",
                 {"listen": HOST_LIST, "hosts_file": str(hosts)})

    def host_list(self):
        """The host list in the format of Prometheus HTTP discovery."""
        entries = []
        for role, names in (("router", self.entry_hosts),
                            ("engine", self.engines),
                            ("service", self.services)):
            for name in names:
                labels = {"host": name, "role": role,
                          "failure_domain": self.domain(name),
                          "state": "live",
                          "checks_fencing": "true"}
                if role == "engine":
                    labels["model"] = ",".join(self.models_of(name))
                if role == "service":
                    labels["model"] = "orders"
                address = (self.router_address(name) if role == "router"
                           else self.link_of(name))
                entries.append({"targets": [address], "labels": labels})
        return entries

    def models_of(self, engine):
        return [] if engine in self.spares else ["drafts"]

    def link_of(self, target):
        """Where routers reach the target: its link, or the target itself."""
        if target in self.links:
            return f"127.0.5.2:{LINK_PORT + self.links.index(target)}"
        return self.target_address(target)

    def add_links(self):
        if self.links:
            self.add("links", "ragwort-standin-link", {
                "control": LINK_CONTROL,
                "links": [{"name": name, "listen": self.link_of(name),
                           "target": self.target_address(name)}
                          for name in self.links]})

    def control_address(self, host):
        return (f"127.0.1.{self.entry_hosts.index(host) + 1}:{CONTROL_PORT}")

    def link_address(self, host):
        return f"127.0.1.{self.entry_hosts.index(host) + 1}:{LINK_PORT}"

    def add_controls(self):
        for host in self.entry_hosts:
            free_or_fail(self.link_address(host))
            free_or_fail(self.control_address(host))
            self.add(f"control-{host}", "ragwort-control",
                     {"host": host, "failure_domain": self.domain(host),
                      "peer_listen": self.control_address(host),
                      "router_listen": self.link_address(host),
                      "seeds": [self.control_address(self.entry_hosts[0])],
                      "keys": [KEY],
                      "key_value": {"endpoints": [KEY_VALUE]},
                      "host_list": {"endpoint": HOST_LIST,
                                    "poll_interval_ms": 500},
                      **self.control_settings})

    def write_ctl_settings(self):
        (self.folder / "ctl.yaml").write_text(yaml.safe_dump(
            {"key_value": {"endpoints": [KEY_VALUE]}, "keys": [KEY],
             "author": "demo", "log": {"level": "warning"},
             **self.ctl_settings}))

    def import_table(self):
        """Imports the site's first table as an operator does."""
        folder = self.folder / "table"
        folder.mkdir(exist_ok=True)
        for sheet, text in TABLE.items():
            (folder / f"{sheet}.csv").write_text(text)
        self.ctl("table", "import", str(folder))

    def add_routers(self):
        for host in self.entry_hosts:
            self.add(f"router-{host}", "ragwort-router",
                     {"host": host, "listen": self.router_address(host),
                      "keys": [KEY], "control": self.link_address(host),
                      "key_value": {"endpoints": [KEY_VALUE]},
                      **self.router_settings})

    def build_all(self):
        self.add_platform()
        self.add_targets()
        self.add_links()
        self.add_controls()
        self.add_routers()
        self.write_ctl_settings()

    def start(self):
        """Starts all processes, imports the table, and waits until every
        router is ready."""
        for process in self.processes.values():
            process.start()
        wait_for("the key-value service", lambda: http(
            "POST", f"http://{KEY_VALUE}/v3/kv/range",
            {"key": "YQ=="})[0] == 200, check=self.check)
        self.import_table()
        for host in self.entry_hosts:
            url = f"http://{self.router_address(host)}/readyz"
            wait_for(f"{host} to become ready", lambda u=url:
                     http("GET", u)[0] == 200, check=self.check)

    def check(self):
        """Raises SiteError when a process has ended."""
        for process in self.processes.values():
            process.check()

    def token(self, team):
        """Bearer token of a team, as ragwort-ctl team-key issues it."""
        mac = hmac.new(KEY["secret"].encode(), b"team\0" + team.encode(),
                       hashlib.sha256).digest()
        text = base64.urlsafe_b64encode(mac).rstrip(b"=").decode()
        return f"{team}.{KEY['id']}.{text}"

    def binary(self, name):
        path = ROOT / self.build / "bin" / name
        if not path.exists():
            raise SiteError(f"{path} is missing; run Utilities/build first")
        return str(path)

    def domain(self, name):
        return self.domains[(int(name.rsplit("-", 1)[1]) - 1)
                            % len(self.domains)]

    def router_address(self, host):
        return f"127.0.1.{self.entry_hosts.index(host) + 1}:{ROUTER_PORT}"

    def target_address(self, target):
        if target in self.engines:
            return f"127.0.2.{self.engines.index(target) + 1}:{ENGINE_PORT}"
        return f"127.0.3.{self.services.index(target) + 1}:{SERVICE_PORT}"

    def add(self, name, binary, settings):
        listen = settings.get("listen")
        if listen:
            free_or_fail(listen)
        self.processes[name] = Process(self, name, binary, settings)
        return self.processes[name]

    def run_ctl(self, arguments):
        return subprocess.run(
            [self.binary("ragwort-ctl"), "--config",
             str(self.folder / "ctl.yaml"), *arguments],
            capture_output=True, text=True, stdin=subprocess.DEVNULL,
            timeout=START_TIMEOUT_S, check=False)

    def ctl_code(self, *arguments):
        """Runs ragwort-ctl and returns its exit code."""
        return self.run_ctl(arguments).returncode

    def ctl(self, *arguments):
        """Runs ragwort-ctl and returns its standard output."""
        run = self.run_ctl(arguments)
        if run.returncode != 0:
            raise SiteError(f"ragwort-ctl {' '.join(arguments)}: exit code "
                            f"{run.returncode}: {run.stderr.strip()}")
        return run.stdout

    def stop(self):
        """Stops every process, entry hosts first; never raises."""
        problems = []
        for process in reversed(list(self.processes.values())):
            try:
                process.send(signal.SIGCONT)
                process.stop()
            except SiteError as error:
                problems.append(str(error))
        return problems
