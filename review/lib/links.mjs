/** Proxies in front of the ports on which processes reach each other; they can cut one machine off from all others. */
import {readdirSync, readFileSync, readlinkSync} from 'node:fs';
import {connect, createServer} from 'node:net';

import {PORTS} from './fleet.mjs';

/** Port on which a process listens itself; its peers connect to the proxy at `PORTS.peer`. */
const LISTEN_PORT = PORTS.peer + 1;

/** Local ports of the TCP connections that a process of this test has open. */
function portsOf(pid) {
  const inodes = new Set();
  for (const name of readdirSync(`/proc/${pid}/fd`)) {
    try {
      const inode = /^socket:\[(\d+)\]$/.exec(readlinkSync(`/proc/${pid}/fd/${name}`))?.[1];
      if (inode !== undefined) {
        inodes.add(inode);
      }
    } catch {
      // Closed meanwhile.
    }
  }
  const lines = readFileSync('/proc/net/tcp', 'utf8').trim().split('\n').slice(1);
  const ports = new Set();
  for (const line of lines) {
    const fields = line.trim().split(/\s+/);
    if (inodes.has(fields[9])) {
      ports.add(parseInt(fields[1].split(':')[1], 16));
    }
  }
  return ports;
}

export class Links {
  constructor(fleet) {
    this.fleet = fleet;
    this.pairs = new Set();
    this.servers = [];
    this.cutMachine = undefined;
    fleet.machines.forEach((machine) => {
      machine.extraSettings = {peerListenPort: LISTEN_PORT};
    });
  }

  async open() {
    for (const machine of this.fleet.machines) {
      const server = createServer((client) => this.accept(client, machine));
      await new Promise((resolve, reject) => {
        server.once('error', reject);
        server.listen(PORTS.peer, machine.ip, resolve);
      });
      this.servers.push(server);
    }
  }

  accept(client, machine) {
    const server = connect(LISTEN_PORT, machine.ip);
    const pair = {client, isCut: false, machine, port: client.remotePort, server};
    this.pairs.add(pair);
    pair.isCut = this.isCutNow(pair);
    this.forward(pair, client, server);
    this.forward(pair, server, client);
  }

  forward(pair, from, to) {
    from.setNoDelay(true);
    from.on('error', () => {});
    from.on('data', (bytes) => {
      // What a partition holds up is lost when its sender gives the connection up.
      if (!pair.isCut && !to.write(bytes)) {
        from.pause();
        to.once('drain', () => from.resume());
      }
    });
    from.on('close', (hadError) => {
      if (pair.isCut) {
        return;
      }
      this.pairs.delete(pair);
      if (hadError) {
        to.resetAndDestroy();
      } else {
        to.destroySoon();
      }
    });
  }

  isCutNow({machine, port}) {
    const cut = this.cutMachine;
    return cut !== undefined && (machine === cut || portsOf(cut.child.pid).has(port));
  }

  /** Cuts a machine off from all other machines of the system, silently; clients and engines still reach it. */
  cut(machine) {
    this.cutMachine = machine;
    const ports = portsOf(machine.child.pid);
    for (const pair of this.pairs) {
      pair.isCut = pair.machine === machine || ports.has(pair.port);
    }
    return [...this.pairs].filter(({isCut}) => isCut).length;
  }

  /** Heals the cut. Connections that lost bytes are reset. */
  heal() {
    this.cutMachine = undefined;
    for (const pair of this.pairs) {
      if (pair.isCut) {
        pair.isCut = false;
        pair.client.resetAndDestroy();
        pair.server.resetAndDestroy();
        this.pairs.delete(pair);
      }
    }
  }

  close() {
    this.servers.forEach((server) => server.close());
    this.pairs.forEach(({client, server}) => {
      client.destroy();
      server.destroy();
    });
  }
}
