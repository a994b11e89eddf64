"use strict";
const byID = (id) => document.getElementById(id);
let last = 0;
let lastFull = 0;
function el(tag, text, cls) { const e = document.createElement(tag); if (text !== undefined) e.textContent = text; if (cls) e.className = cls; return e; }
function table(head, rows) {
  const t = el("table"); const h = el("tr"); head.forEach((x) => h.append(el("th", x))); t.append(h);
  rows.forEach((r) => { const tr = el("tr", undefined, r.bad ? "bad" : ""); r.cells.forEach((c) => tr.append(el("td", c))); t.append(tr); });
  return t;
}
function services(hosts) {
  const all = new Map();
  for (const h of hosts) for (const s of (h.status ? h.status.services : [])) {
    const a = all.get(s.name) || { ...s, waiting: 0, running: 0, offered: 0, answered: 0, notRun: 0, unknown: 0, servers: new Map() };
    for (const k of ["waiting", "running", "offered", "answered", "notRun", "unknown"]) a[k] += s[k];
    for (const v of s.servers) { const o = a.servers.get(v.name) || { ...v, load: 0 }; o.load += v.load; o.quarantined = o.quarantined || v.quarantined; a.servers.set(v.name, o); }
    all.set(s.name, a);
  }
  const out = el("div");
  for (const s of [...all.values()].sort((a, b) => a.name.localeCompare(b.name))) {
    out.append(table([s.name + " (" + s.protocol + ")", "waiting", "running", "answered", "not run", "unknown"],
      [{ cells: [s.team, s.waiting, s.running, s.answered, s.notRun, s.unknown], bad: s.unknown > 0 && s.unknown * 100 > s.answered }]));
    const grid = el("div", undefined, "servers");
    for (const v of s.servers.values()) grid.append(el("div", v.name + " " + v.load + "/" + (s.protocol === "http" ? v.slots : v.connections) + (v.state === "active" ? "" : " " + v.state) + (v.quarantined ? " quarantined" : ""), "server " + v.state + (v.quarantined ? " quarantined" : "")));
    out.append(grid);
  }
  return out;
}
function show(f) {
  last = Date.now();
  const c = f.cluster; const hosts = c.hosts;
  const behind = hosts.filter((h) => !h.status || h.status.revision !== c.latest);
  const alarms = hosts.filter((h) => h.status && (h.status.alarm || h.status.platformDown));
  byID("verdict").textContent = behind.length === 0 ? "Revision " + c.latest + " in force on all " + hosts.length + " hosts" : "Revision " + c.latest + ": not on " + behind.map((h) => h.name).join(", ");
  byID("verdict").className = behind.length + alarms.length > 0 ? "bad" : "";
  if (f.full) {
    lastFull = Date.now();
    byID("services").replaceChildren(services(f.full.hosts));
  }
  byID("hosts").replaceChildren(table(["host", "data centre", "revision", "flows", "state"], hosts.map((h) => {
    const s = h.status;
    if (!s) return { cells: [h.name, h.dataCentre, "?", "?", h.error], bad: true };
    const seen = s.members.filter((m) => m.health === "alive" || m.health === "suspect").length;
    const lost = s.members.filter((m) => m.health === "dead").length;
    const state = (s.leaving ? "leaving " : "") + (s.alarm ? s.alarm + " " : "") + (s.platformDown ? "no platform " : "") + "sees " + seen + (lost ? ", lost " + lost : "");
    return { cells: [h.name, h.dataCentre, s.revision, s.flows, state], bad: !!s.alarm || s.platformDown || s.revision !== c.latest };
  })));
  byID("edits").replaceChildren(table(["edit", "team", "who", "accepted", "in force"], f.history.slice().reverse().map((e) => {
    const on = hosts.filter((h) => h.status && h.status.revision >= e.revision).length;
    return { cells: [e.revision, e.team, e.who, new Date(e.at).toLocaleTimeString(), on + "/" + hosts.length], bad: on < hosts.length };
  })));
  byID("events").replaceChildren(table(["time", "host", "what", ""], f.events.slice(-30).reverse().map((e) => ({
    cells: [new Date(e.at).toLocaleTimeString(), e.host, e.kind + (e.count ? " ×" + e.count : ""), [e.service, e.server, e.peer, e.revision ? "revision " + e.revision : "", e.cause].filter(Boolean).join(" · ")], bad: e.kind === "alarm" }))));
}
function age() {
  const full = lastFull ? Math.round((Date.now() - lastFull) / 1000) : -1;
  byID("servicesAge").textContent = full < 5 ? "" : ", " + full + " s old";
  const s = last ? Math.round((Date.now() - last) / 1000) : -1;
  byID("age").textContent = s < 0 ? "no figures yet" : "figures are " + s + " s old";
  byID("age").className = s < 0 || s > 4 ? "bad" : "";
}
new EventSource("api/stream").onmessage = (m) => show(JSON.parse(m.data));
setInterval(age, 500);
