// Settings of the memory allocator.
#ifndef CACTUSWARD_SRC_KERNEL_ALLOCATOR_H_
#define CACTUSWARD_SRC_KERNEL_ALLOCATOR_H_

namespace cactusward {

// Makes the allocator return the memory of large buffers to the system as soon
// as they are freed. glibc otherwise raises the size from which buffers are
// mapped separately to that of the largest one that was freed, and bodies that
// grow and end at different times then leave holes in the heap: the process
// holds a multiple of what its buffers use. Does nothing with other C
// libraries. Precondition: no other thread runs yet.
void ReturnLargeBuffers();

}  // namespace cactusward

#endif  // CACTUSWARD_SRC_KERNEL_ALLOCATOR_H_
