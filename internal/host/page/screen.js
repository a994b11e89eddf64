"use strict";
const byID = (id) => document.getElementById(id);
// Times of the last frame and of the last frame with services, 0 before the first.
let lastFrameAt = 0;
let lastFullAt = 0;
// el returns a new element.
function el(tag, text, cls) { const e = document.createElement(tag); if (text !== undefined) e.textContent = text; if (cls) e.className = cls; return e; }
// table returns a table; rows with bad set are highlighted.
function table(head, rows) {
  const t = el("table"); const h = el("tr"); head.forEach((x) => h.append(el("th", x))); t.append(h);
  rows.forEach((r) => { const tr = el("tr", undefined, r.bad ? "bad" : ""); r.cells.forEach((c) => tr.append(el("td", c))); t.append(tr); });
  return t;
}
// renderServices returns the services with their figures summed over all hosts.
function renderServices(hosts) {
  const totals = new Map();
  for (const h of hosts) for (const s of (h.status ? h.status.services : [])) {
    const total = totals.get(s.name) || { ...s, waiting: 0, running: 0, offered: 0, answered: 0, notRun: 0, unknown: 0, servers: new Map() };
    for (const k of ["waiting", "running", "offered", "answered", "notRun", "unknown"]) total[k] += s[k];
    for (const v of s.servers) { const server = total.servers.get(v.name) || { ...v, load: 0 }; server.load += v.load; server.quarantined = server.quarantined || v.quarantined; total.servers.set(v.name, server); }
    totals.set(s.name, total);
  }
  const out = el("div");
  for (const s of [...totals.values()].sort((a, b) => a.name.localeCompare(b.name))) {
    out.append(table([s.name + " (" + s.protocol + ")", "waiting", "running", "answered", "not run", "unknown"],
      [{ cells: [s.team, s.waiting, s.running, s.answered, s.notRun, s.unknown], bad: s.unknown > 0 && s.unknown * 100 > s.answered }]));
    const grid = el("div", undefined, "servers");
    for (const v of s.servers.values()) grid.append(el("div", v.name + " " + v.load + "/" + (s.protocol === "http" ? v.slots : v.connections) + (v.state === "active" ? "" : " " + v.state) + (v.quarantined ? " quarantined" : ""), "server " + v.state + (v.quarantined ? " quarantined" : "")));
    out.append(grid);
  }
  return out;
}
// renderFrame shows a frame of the stream.
function renderFrame(f) {
  lastFrameAt = Date.now();
  const c = f.cluster; const hosts = c.hosts;
  const staleHosts = hosts.filter((h) => !h.status || h.status.revision !== c.latest);
  const alarms = hosts.filter((h) => h.status && (h.status.alarm || h.status.platformDown));
  byID("summary").textContent = staleHosts.length === 0 ? "Revision " + c.latest + " in force on all " + hosts.length + " hosts" : "Revision " + c.latest + ": not on " + staleHosts.map((h) => h.name).join(", ");
  byID("summary").className = staleHosts.length + alarms.length > 0 ? "bad" : "";
  if (f.full) {
    lastFullAt = Date.now();
    byID("services").replaceChildren(renderServices(f.full.hosts));
  }
  byID("hosts").replaceChildren(table(["host", "data centre", "revision", "flows", "state"], hosts.map((h) => {
    const s = h.status;
    if (!s) return { cells: [h.name, h.dataCentre, "?", "?", h.error], bad: true };
    const live = s.members.filter((m) => m.health === "alive" || m.health === "suspect").length;
    const dead = s.members.filter((m) => m.health === "dead").length;
    const state = (s.leaving ? "leaving " : "") + (s.alarm ? s.alarm + " " : "") + (s.platformDown ? "no platform " : "") + "sees " + live + (dead ? ", lost " + dead : "");
    return { cells: [h.name, h.dataCentre, s.revision, s.flows, state], bad: !!s.alarm || s.platformDown || s.revision !== c.latest };
  })));
  byID("edits").replaceChildren(table(["edit", "team", "who", "accepted", "in force"], f.history.slice().reverse().map((e) => {
    const inForce = hosts.filter((h) => h.status && h.status.revision >= e.revision).length;
    return { cells: [e.revision, e.team, e.who, new Date(e.at).toLocaleTimeString(), inForce + "/" + hosts.length], bad: inForce < hosts.length };
  })));
  byID("events").replaceChildren(table(["time", "host", "what", ""], f.events.slice(-30).reverse().map((e) => ({
    cells: [new Date(e.at).toLocaleTimeString(), e.host, e.kind + (e.count ? " ×" + e.count : ""), [e.service, e.server, e.peer, e.revision ? "revision " + e.revision : "", e.cause].filter(Boolean).join(" · ")], bad: e.kind === "alarm" }))));
}
// updateAge shows the age of the figures in seconds.
function updateAge() {
  const fullAge = lastFullAt ? Math.round((Date.now() - lastFullAt) / 1000) : -1;
  byID("servicesAge").textContent = fullAge < 5 ? "" : ", " + fullAge + " s old";
  const age = lastFrameAt ? Math.round((Date.now() - lastFrameAt) / 1000) : -1;
  byID("age").textContent = age < 0 ? "no figures yet" : "figures are " + age + " s old";
  byID("age").className = age < 0 || age > 4 ? "bad" : "";
}
new EventSource("api/stream").onmessage = (m) => renderFrame(JSON.parse(m.data));
setInterval(updateAge, 500);
