export { run } from './node/run.ts';
export { ExitCode } from './types/exit-code.ts';
