import { StatusServer } from '../../packages/gateway/src/node/status-server.ts';
import { measureProcess } from '../core/measure-process.ts';

/** Size of the metrics of a node with many runners. */
const METRICS_BYTES = 100_000;

const server = new StatusServer({
  address: { host: '127.0.0.1', port: 0 },
  isReady: () => true,
  onFailure: () => undefined,
  metricsText: () => 'x'.repeat(METRICS_BYTES),
});
await server.listen();
measureProcess(server.port);
