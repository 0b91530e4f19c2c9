/**
 * Measures an idle fleet of VM processes: CPU, memory and traffic per VM, configuration changes and failover.
 */
import type {FleetLayout} from 'stallpaddle-demo';

import {mkdtempSync, readFileSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {delay} from 'stallpaddle';
import {DemoOperator, Fleet, REGISTRY_LAYOUT, vmAddress} from 'stallpaddle-demo';
import {callServer} from 'stallpaddle-load';

const IDLE_MS = 10_000;
const SETTLE_MS = 3_000;
/** Unit of the CPU times in `/proc/PID/stat`. */
const CLOCK_TICKS_PER_SECOND = 100;
const CONFIG_CHANGES = 5;

/** Resource use of an idle fleet, averaged per VM, and its control latencies. */
export interface FleetCost {
  /** CPU use of a VM with a disk, in percent of one core. */
  readonly cpuPercentDisk: number;
  /** CPU use of a VM without a disk, in percent of one core. */
  readonly cpuPercentPlain: number;
  /** Time from killing the control group's leader until the group answers a plan request again. */
  readonly failoverMs: number;
  /** Median time from confirming a configuration change until every VM has acknowledged it. */
  readonly inForceMs: number;
  /** Loopback traffic divided by the number of VMs. */
  readonly kilobytesPerSecondPerVm: number;
  readonly rssMegabytesDisk: number;
  readonly rssMegabytesPlain: number;
  readonly vms: number;
}

function cpuSeconds(pid: number): number {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  return (Number(fields[11]) + Number(fields[12])) / CLOCK_TICKS_PER_SECOND;
}

function rssMegabytes(pid: number): number {
  const match = /VmRSS:\s+(\d+) kB/.exec(readFileSync(`/proc/${pid}/status`, 'utf8'));
  return Number(match?.[1] ?? 0) / 1024;
}

function loopbackBytes(): number {
  const line = readFileSync('/proc/net/dev', 'utf8')
    .split('\n')
    .find((entry) => entry.trim().startsWith('lo:'));
  return Number(line?.trim().split(/\s+/)[1] ?? 0);
}

function mean(values: readonly number[]): number {
  const sum = values.reduce((total, value) => total + value, 0);
  return Math.round((100 * sum) / Math.max(1, values.length)) / 100;
}

/** Kills the control group's leader and returns the time until the group answers a plan request, in milliseconds. */
async function measureFailover(fleet: Fleet, layout: FleetLayout): Promise<number> {
  const key = layout.operatorKey;
  const {text} = await callServer({...vmAddress(layout, 1), key, path: '/admin/status'});
  const status = JSON.parse(text) as {replicas: {group: string; leader: string}[]};
  const control = status.replicas.find(({group}) => group === 'control');
  const leaderVm = control!.leader.split('/')[0]!;
  const contactVm = leaderVm.endsWith('-1') ? 1 : 0;
  await fleet.kill(leaderVm);
  const killedAt = performance.now();
  const operator = new DemoOperator(vmAddress(layout, contactVm), key);
  await operator.plan({kind: 'drainVm', vm: 'none'});
  return Math.round(performance.now() - killedAt);
}

/**
 * Starts a fleet, measures it while idle, then times configuration changes and a failover.
 *
 * @param vms number of VMs, three of them with a disk
 */
export async function measureFleet(vms: number): Promise<FleetCost> {
  const layout: FleetLayout = {
    ...REGISTRY_LAYOUT,
    folder: 'data',
    network: '127.2.1',
    plainServices: [],
    services: [],
    vms,
  };
  const folder = mkdtempSync(path.join(tmpdir(), 'stallpaddle-slopes-'));
  const fleet = new Fleet(layout, folder);
  try {
    await fleet.start();
    await delay(SETTLE_MS);
    const pids = Array.from({length: vms}, (_, vm) => fleet.pidOf(fleet.vmProcess(vm).name)!);
    const cpuBefore = pids.map(cpuSeconds);
    const trafficBefore = loopbackBytes();
    await delay(IDLE_MS);
    const trafficBytes = loopbackBytes() - trafficBefore;
    const cpuPercent = pids.map(
      (pid, index) => (100 * (cpuSeconds(pid) - cpuBefore[index]!)) / (IDLE_MS / 1000),
    );
    const rss = pids.map(rssMegabytes);
    const operator = new DemoOperator(vmAddress(layout, 0), layout.operatorKey);
    const changeTimes: number[] = [];
    for (let change = 0; change < CONFIG_CHANGES; change++) {
      const kind = change % 2 === 0 ? 'drainVm' : 'undrainVm';
      changeTimes.push(await operator.change({kind, vm: 'some-vm'}));
    }
    return {
      cpuPercentDisk: mean(cpuPercent.slice(0, 3)),
      cpuPercentPlain: mean(cpuPercent.slice(3)),
      failoverMs: await measureFailover(fleet, layout),
      inForceMs: changeTimes.toSorted((a, b) => a - b)[Math.floor(CONFIG_CHANGES / 2)]!,
      kilobytesPerSecondPerVm: mean([trafficBytes / 1024 / (IDLE_MS / 1000) / vms]),
      rssMegabytesDisk: mean(rss.slice(0, 3)),
      rssMegabytesPlain: mean(rss.slice(3)),
      vms,
    };
  } finally {
    await fleet.stop();
    rmSync(folder, {force: true, recursive: true});
  }
}
