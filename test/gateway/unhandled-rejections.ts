/** Reasons of the rejections of this process that nobody has handled since the first import. */
export const unhandledRejections: string[] = [];

process.on('unhandledRejection', (reason) => {
  unhandledRejections.push(reason instanceof Error ? reason.message : String(reason));
});
