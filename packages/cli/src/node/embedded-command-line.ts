import { createRequire } from 'node:module';
import { getAsset, isSea } from 'node:sea';
import { compileFunction } from 'node:vm';

interface CommandLine {
  readonly run: (args: readonly string[]) => Promise<number>;
}

/** Name under which the build embeds the bundle of all commands. */
const ASSET = 'command-line.cjs';

/**
 * The bundle of all commands that is embedded in the binary, apart from its main script; undefined
 * outside of the binary. It is compiled only when it is used: most processes are nodes that do without.
 */
export function embeddedCommandLine(): CommandLine | undefined {
  if (!isSea()) return undefined;
  const module = { exports: {} };
  const parameters = ['exports', 'require', 'module', '__filename'];
  const define = compileFunction(getAsset(ASSET, 'utf8'), parameters, { filename: ASSET });
  Reflect.apply(define, undefined, [
    module.exports,
    createRequire(process.execPath),
    module,
    process.execPath,
  ]);
  return module.exports as CommandLine;
}
